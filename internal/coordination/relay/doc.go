// Package relay turns attempts on engines into one contiguous answer. When an attempt fails, it decides from the
// failure, the tokens delivered, the deadline and the retry budget whether to make another one. An interrupted answer
// is resumed on another engine of the same version, after the tokens that the caller already has.
package relay
