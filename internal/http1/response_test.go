package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
)

// chain returns a chain with blocks of seven bytes, so that nearly every line spans several blocks.
func chain(text string) *buffer.Chain {
	c := buffer.NewPool(7, 1<<20).NewChain()
	c.Write([]byte(text))
	return &c
}

const (
	sized   = "HTTP/1.1 200 OK\r\nContent-Type: x\r\ncontent-length: 11\r\n\r\nhello there"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6;x=y\r\nhello \r\n5\r\nthere\r\n0\r\nT: 1\r\n\r\n"
)

func TestResponseIsCompleteWithItsLastByte(t *testing.T) {
	for _, text := range []string{sized, chunked, "HTTP/1.1 100 Continue\r\n\r\n" + sized} {
		for n := range text {
			in, r := chain(text[:n]), Response{}
			done, err := r.Parse(in, 100, 200)
			require.NoError(t, err)
			require.False(t, done, "%q", text[:n])
			in.Write([]byte(text[n:] + "HTTP"))
			done, err = r.Parse(in, 100, 200)
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, 200, r.Status)
			require.Equal(t, "hello there", string(r.Body))
			require.False(t, r.Close)
			require.Equal(t, 4, in.Len(), "the bytes of the next response stay in the chain")
		}
	}
}

func TestConnectionEndCompletesABodyWithoutLength(t *testing.T) {
	r := Response{}
	done, err := r.Parse(chain("HTTP/1.0 200 OK\r\n\r\nhello"), 100, 200)
	require.NoError(t, err)
	assert.False(t, done)
	assert.True(t, r.ConnectionEnded())
	assert.True(t, r.Close)
	assert.Equal(t, "hello", string(r.Body))
	r = Response{}
	_, err = r.Parse(chain(sized[:len(sized)-1]), 100, 200)
	require.NoError(t, err)
	assert.False(t, r.ConnectionEnded(), "a truncated body is not complete")
}

func TestMalformedResponseIsAnError(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		"hello\r\n", "HTTP/2 200 OK\r\n", "HTTP/1.1 abc\r\n", head + "no colon\r\n",
		head + "Content-Length: -1\r\n", head + "Content-Length: 101\r\n\r\n",
		head + "Content-Length: 1\r\nContent-Length: 2\r\n", head + "Transfer-Encoding: gzip\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", head + "Transfer-Encoding: chunked\r\n\r\n65\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", head + strings.Repeat("x", 201),
		"HTTP/1.0 200 OK\r\n\r\n" + strings.Repeat("x", 101),
	} {
		_, err := new(Response).Parse(chain(text), 100, 200)
		require.ErrorIs(t, err, ErrMalformedResponse, text)
		var bad *ResponseError
		require.ErrorAs(t, err, &bad, text)
	}
}

func TestGetRequestNamesHostAndPath(t *testing.T) {
	assert.Equal(t, "GET /p?a=1 HTTP/1.1\r\nHost: h:1\r\nAccept: application/json\r\n\r\n", GetRequest("h:1", "/p?a=1"))
}

func FuzzResponse(f *testing.F) {
	f.Add(sized, 30)
	f.Add(chunked, 60)
	f.Add("HTTP/1.1 204 No\r\n\r\n", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		var one, two Response
		done, err := one.Parse(chain(text), 1000, 200)
		cut = min(max(0, cut), len(text))
		in := chain(text[:cut])
		done2, err2 := two.Parse(in, 1000, 200)
		if !done2 && err2 == nil {
			in.Write([]byte(text[cut:]))
			done2, err2 = two.Parse(in, 1000, 200)
		}
		require.Equal(t, done, done2)
		require.Equal(t, err == nil, err2 == nil)
		require.Equal(t, one.Body, two.Body)
		require.LessOrEqual(t, len(one.Body), 1000)
	})
}
