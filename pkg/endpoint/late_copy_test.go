package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// drawnResponse is how a request is answered.
type drawnResponse struct {
	// id is that of the request; empty for one without an ID.
	id      string
	refused bool
	// unnamed is set if the response names no request: refusals, and responses to requests without an ID.
	unnamed bool
	// copies come later on the same connection, each before the response to one more request.
	copies int
	// pause is the time between a copy and the response that follows it.
	pause time.Duration
}

// lateCopier answers requests in the drawn way, and sends copies of earlier responses of the same connection.
type lateCopier struct {
	listener net.Listener
	group    errgroup.Group

	mu    sync.Mutex
	drawn []drawnResponse
	// answered counts the requests on all connections.
	answered int
}

// next returns how the next request is answered, and the number by which its response is recognized.
func (s *lateCopier) next() (drawnResponse, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	return s.drawn[s.answered-1], s.answered
}

func (s *lateCopier) run() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		s.group.Go(func() error {
			defer conn.Close()
			s.serve(conn)
			return nil
		})
	}
}

func (s *lateCopier) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	type surplus struct {
		sent   string
		copies int
		pause  time.Duration
	}
	var late []surplus
	for {
		if _, err := readRequest(reader); err != nil {
			return
		}
		drawn, number := s.next()
		for i := range late {
			if late[i].copies == 0 {
				continue
			}
			late[i].copies--
			if _, err := io.WriteString(conn, late[i].sent); err != nil {
				return
			}
			time.Sleep(late[i].pause)
		}
		head := "HTTP/1.1 200 OK\r\n"
		if drawn.refused {
			head = "HTTP/1.1 503 Busy\r\n"
		}
		if !drawn.unnamed {
			head += "X-Id: " + drawn.id + "\r\n"
		}
		sent := fmt.Sprintf("%sX-Number: %d\r\nContent-Length: 2\r\n\r\nok", head, number)
		if _, err := io.WriteString(conn, sent); err != nil {
			return
		}
		late = append(late, surplus{sent: sent, copies: drawn.copies, pause: drawn.pause})
	}
}

// TestLateCopiesAreNotTakenForOtherResponses guards against a late copy of a response that is taken for the
// response to a later request: one that names no request, or a request with the same ID.
func TestLateCopiesAreNotTakenForOtherResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) drawnResponse {
			d := drawnResponse{
				id:      rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(rt, "id"),
				refused: rapid.Bool().Draw(rt, "refused"),
				copies:  rapid.IntRange(0, 2).Draw(rt, "copies"),
				pause:   time.Duration(rapid.IntRange(0, 2).Draw(rt, "pause")) * time.Millisecond,
			}
			d.unnamed = d.id == "" || (d.refused && rapid.Bool().Draw(rt, "unnamed"))
			return d
		}), 2, 12).Draw(rt, "drawn")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rt.Fatal(err)
		}
		s := &lateCopier{listener: listener, drawn: drawn}
		s.group.Go(s.run)
		client := &Client{Address: listener.Addr().String(), ConnectTimeout: time.Second}
		defer func() {
			client.Close()
			listener.Close()
			_ = s.group.Wait()
		}()
		for i := range drawn {
			call := callWith(nil)
			call.ID = drawn[i].id
			call.Match = func(head *fasthttp.ResponseHeader) Match {
				switch id := string(head.Peek("X-Id")); {
				case id == "":
					return MatchUnnamed
				case id == call.ID:
					return MatchNamed
				default:
					return MatchOther
				}
			}
			response, err := client.Do(context.Background(), call)
			if err != nil {
				// More surplus responses than are dropped.
				continue
			}
			number := string(response.Head.Peek("X-Number"))
			if _, err := response.ReadAll(10); err != nil {
				rt.Fatal(err)
			}
			response.Close()
			if number != fmt.Sprint(i+1) {
				rt.Fatalf("request %d got the response to %s", i+1, number)
			}
		}
	})
}
