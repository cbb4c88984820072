package memory

// Hold is what is held for one thing of a client. The zero value holds nothing and bounds nothing. It is used by one goroutine at a time.
type Hold struct {
	client *Client
	use    Use
	bytes  Bytes
}

// NewHold returns a hold of the client for a use. A nil client bounds nothing.
func (c *Client) NewHold(u Use) Hold { return Hold{client: c, use: u} }

// Bytes returns what is held.
func (h *Hold) Bytes() Bytes { return h.bytes }

// Take takes n further bytes for a piece of the given size in all, and reports whether there were as many.
func (h *Hold) Take(n, size Bytes) bool {
	if h.client != nil && !h.client.Account.take(h.client, h.use, n, size) {
		return false
	}
	h.bytes += n
	return true
}

// Release gives back n bytes.
func (h *Hold) Release(n Bytes) {
	h.bytes -= n
	if h.client == nil || n == 0 {
		return
	}
	a := h.client.Account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h.client, h.use, -n)
}

// ReleaseAll gives back all that is held.
func (h *Hold) ReleaseAll() { h.Release(h.bytes) }
