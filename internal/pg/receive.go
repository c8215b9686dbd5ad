package pg

import (
	"encoding/binary"
	"fmt"
	"io"
)

// ReceiveMessage reads one message whole, for whoever is a client and may wait. Its body is most bytes long at most.
func ReceiveMessage(r io.Reader, most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, fmt.Errorf("message: %w", err)
	}
	n := int64(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > int64(most) {
		return 0, nil, fmt.Errorf("message %q: its length is %d, %d at most", head[0], n, most)
	}
	body = make([]byte, n)
	if _, err = io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("message %q: %w", head[0], err)
	}
	return head[0], body, nil
}
