// Package relay turns attempts on engines into one contiguous answer. When an engine fails in the middle of an
// answer, the relay resumes it on another engine of the same version from the tokens that the caller already has.
package relay
