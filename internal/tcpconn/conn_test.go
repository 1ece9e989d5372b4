package tcpconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/tcpconn"
)

const (
	uploadBytes = 8 << 20
	partialBody = "a part"
	plays       = 40
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client *tcpconn.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := tcpconn.DialContext(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	return conn.(*tcpconn.Conn), peer.(*net.TCPConn)
}

// answerEarly sends an answer without a length while the client's request is still being
// sent, and ends the connection as end does.
func answerEarly(t *testing.T, server *net.TCPConn, end func(conn *net.TCPConn)) {
	t.Helper()
	_, err := io.ReadFull(server, make([]byte, 1000))
	assert.NilError(t, err)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+partialBody)
	assert.NilError(t, err)
	time.Sleep(5 * time.Millisecond) // a reset takes back what has not been delivered
	end(server)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeSide closes the server's side, and goes on reading as a proper server does.
func closeSide(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
}

// readAnswer reads an answer without a length while a request is sent.
func readAnswer(client *tcpconn.Conn, send func(c *tcpconn.Conn) error) (body string, err error) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = send(client) // the answer is what is asked for
	}()
	defer func() {
		_ = client.Close()
		<-sent
	}()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

var senders = map[string]func(c *tcpconn.Conn) error{
	"one write": func(c *tcpconn.Conn) error {
		_, err := c.Write(make([]byte, uploadBytes))
		return err
	},
	"many writes": func(c *tcpconn.Conn) error {
		for range uploadBytes / 4096 {
			if _, err := c.Write(make([]byte, 4096)); err != nil {
				return err
			}
		}
		return nil
	},
	"buffers": func(c *tcpconn.Conn) error {
		_, err := c.WriteBuffers(net.Buffers{make([]byte, 1000), make([]byte, uploadBytes)})
		return err
	},
	"copy": func(c *tcpconn.Conn) error {
		_, err := io.Copy(c, io.LimitReader(zeros{}, uploadBytes))
		return err
	},
	"a short request": func(c *tcpconn.Conn) error {
		_, err := c.Write(make([]byte, 1000))
		return err
	},
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a part of an answer that counts as the whole (MIXED): the reset is
// reported to the writer of the request alone.
func TestResetIsNoCleanEnd(t *testing.T) {
	for name, send := range senders {
		t.Run(name, func(t *testing.T) {
			for range plays {
				client, server := connect(t)
				go answerEarly(t, server, reset)
				body, err := readAnswer(client, send)
				assert.Assert(t, err != nil, "%q counts as complete", body)
			}
		})
	}
}

// A proper server may answer early without a length: its answer is complete, whether it
// goes on reading the request, leaves it unread, or closes the connection later.
func TestEarlyAnswerIsComplete(t *testing.T) {
	for endName, end := range map[string]func(conn *net.TCPConn){
		"reads on": closeSide,
		"stops reading": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
		},
		"closes later": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.AfterFunc(2*time.Millisecond, func() { reset(conn) })
		},
	} {
		for name, send := range senders {
			t.Run(endName+", "+name, func(t *testing.T) {
				for range plays / 4 {
					client, server := connect(t)
					go answerEarly(t, server, end)
					body, err := readAnswer(client, send)
					assert.NilError(t, err)
					assert.Equal(t, body, partialBody)
				}
			})
		}
	}
}

// A reset that comes after the peer has closed its side says nothing of what was sent
// before it.
func TestResetAfterCleanEnd(t *testing.T) {
	for range plays {
		client, server := connect(t)
		assert.NilError(t, server.CloseWrite())
		time.Sleep(time.Millisecond)
		reset(server)
		time.Sleep(time.Millisecond)
		_, err := client.Write(make([]byte, 100))
		assert.Assert(t, err == nil || !errors.Is(err, syscall.ECONNRESET))
		_, err = client.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
	}
}
