// Package jkcrowd plays callers and peers that don't keep to the limits: large crowds that send bodies, heads
// and frames which end late or never, and that leave answers unread. The package is for tests.
package jkcrowd

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Target describes the program that a crowd sends to.
type Target struct {
	// Head is the start of a request up to its last header, and Unrouted that of one to an unknown path.
	Head     string
	Unrouted string
	// Body is just under the limit for bodies.
	Body int
	// Bodies is the number of callers that send bodies, Heads that of those that send heads, and Whole that
	// of those that send whole requests and leave the answers unread.
	Bodies, Heads, Whole int
	// Requests are whole requests, by what is left unread.
	Requests []Request
}

// Request is a whole request that is sent several times on each connection.
type Request struct {
	Name  string
	Text  string
	Times int
}

// Kind is what each caller of a crowd does.
type Kind struct {
	Name    string
	Callers int
	Send    func(c net.Conn)
}

// Kinds returns the crowds of a target.
func Kinds(t Target) []Kind {
	const tooMuch = 8 << 20
	length := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.Head, n) }
	kinds := []Kind{
		{"large chunks", t.Bodies, chunks(t.Head, t.Body, 64<<10)},
		{"small chunks", t.Bodies, chunks(t.Head, t.Body, 16)},
		{"announced body", t.Bodies, repeat(length(t.Body+1), "x", t.Body-(64<<10))},
		{"announced body that isn't sent", t.Heads, repeat(length(t.Body), "", 0)},
		{"announced body over the limit", t.Bodies, repeat(length(1<<40), "x", tooMuch)},
		{"chunks over the limit", t.Bodies, chunks(t.Head, tooMuch, 64<<10)},
		{"head just under the limit", t.Heads, repeat(t.Head, "A: bbbbbbbbbbbb\r\n", 60<<10)},
		{"one line just under the limit", t.Heads, repeat(t.Head+"A: ", "b", 60<<10)},
		{"head without end", t.Heads, repeat(t.Head, "A: bbbbbbbbbbbb\r\n", tooMuch)},
		{"line without end", t.Heads, repeat(t.Head+"A: ", "b", tooMuch)},
		{"empty lines", t.Heads, repeat("", "\r\n", tooMuch)},
		{"empty lines after a request", t.Heads, repeat(length(0), "\r\n", tooMuch)},
		{"requests without a route", t.Bodies, repeat(t.Unrouted+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 32<<10)},
	}
	for _, r := range t.Requests {
		kinds = append(kinds, Kind{r.Name, t.Whole, again(r.Text, r.Times)})
	}
	return kinds
}

// Mixed returns a crowd of which each caller does what one of the kinds does, drawn with a seed.
func Mixed(kinds []Kind, callers int, seed uint64) Kind {
	random := rand.New(rand.NewPCG(seed, seed))
	drawn := make(chan Kind, callers)
	for range callers {
		drawn <- kinds[random.IntN(len(kinds))]
	}
	return Kind{fmt.Sprintf("all kinds at once, seed %d", seed), callers, func(c net.Conn) { (<-drawn).Send(c) }}
}

// chunks sends the start of a chunked body in chunks of a size.
func chunks(head string, total, size int) func(c net.Conn) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	block := strings.Repeat(chunk, max(1, (16<<10)/size))
	return func(c net.Conn) {
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		perBlock := size * max(1, (16<<10)/size)
		for sent := 0; sent+perBlock <= total; sent += perBlock {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

// repeat sends a start and then a piece again and again.
func repeat(start, piece string, total int) func(c net.Conn) {
	block := strings.Repeat(piece, 1+(16<<10)/max(1, len(piece)))
	return func(c net.Conn) {
		_, _ = io.WriteString(c, start)
		for sent := 0; sent < total; sent += len(block) {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

// again sends a whole request several times, and leaves the answers unread.
func again(request string, times int) func(c net.Conn) {
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(unreadBuffer)
		for range times {
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
		}
	}
}

// sendTime is how long a caller waits for a program that doesn't read on, and unreadBuffer the size of the
// buffer for answers.
const (
	sendTime     = 5 * time.Second
	unreadBuffer = 4 << 10
)

// Gather connects a crowd and lets it send. It returns once all that the program takes is sent, and a time
// has passed after that. The result ends the crowd.
func Gather(addr string, k Kind, hold time.Duration) (end func(), err error) {
	var conns []net.Conn
	var sending sync.WaitGroup
	for range k.Callers {
		c, dialed := net.Dial("tcp", addr)
		if dialed != nil {
			err = dialed
			continue
		}
		conns = append(conns, c)
		_ = c.SetWriteDeadline(time.Now().Add(sendTime))
		sending.Go(func() { k.Send(c) })
	}
	sending.Wait()
	time.Sleep(hold)
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}, err
}
