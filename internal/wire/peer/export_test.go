package peer

// CancelOnFullQueue opens and cancels a stream on a connection whose queue holds one frame and is full.
// It returns the queue.
func (h *Hub) CancelOnFullQueue() <-chan []byte {
	h.init()
	c := &conn{hub: h, queue: make(chan []byte, 1), closed: make(chan struct{}), streams: map[uint64]*outStream{}}
	s := c.openStream()
	c.queue <- nil
	s.close(false)
	return c.queue
}

// Decode exposes the frame decoder to the tests and encodes the decoded frame
// again.
func Decode(data []byte) error {
	f, err := decode(data)
	if err != nil {
		return err
	}
	_, err = encode(f)
	return err
}
