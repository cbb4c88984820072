package prefix

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// scopeBytes is the room for a scope that is hashed without an allocation on the heap.
const scopeBytes = 256
