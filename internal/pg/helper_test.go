package pg

import "stoatdale.example/stoatdale/internal/buffer"

// chain returns a chain of three-byte blocks that holds b, so that no message is contiguous in memory.
func chain(b []byte) *buffer.Chain {
	c := buffer.NewPool(3, 1<<20).NewChain()
	c.Write(b)
	return &c
}

// row returns the messages of an answer with one row, up to but without ReadyForQuery.
func row(value string) []byte {
	b := AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = AppendMessage(b, 'D', []byte{0, 1, 0, 0, 0, byte(len(value))}, []byte(value))
	return AppendMessage(b, 'C', []byte("SELECT 1\x00"))
}
