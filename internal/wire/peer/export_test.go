package peer

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
