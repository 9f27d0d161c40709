package peer

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds a message between boxes; the largest ones are snapshots.
const maxMessageBytes = 16 << 20

// send writes one message, preceded by its length, and adds its size to count.
func send(stream net.Conn, message proto.Message, timeout time.Duration, count *atomic.Int64) error {
	if err := stream.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	buffered := bufio.NewWriter(stream)
	size, err := protodelim.MarshalTo(buffered, message)
	if err != nil {
		return err
	}
	count.Add(int64(size))
	return buffered.Flush()
}

// receive reads one message.
func receive(reader *bufio.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(reader, message)
}
