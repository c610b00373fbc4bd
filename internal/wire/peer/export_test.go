package peer

// Decode lets the tests reach the decoder of frames.
func Decode(data []byte) error {
	f, err := decode(data)
	if err != nil {
		return err
	}
	_, err = encode(f)
	return err
}
