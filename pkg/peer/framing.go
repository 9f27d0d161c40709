package peer

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds a message between boxes; a snapshot is the largest.
const maxMessageBytes = 16 << 20

// send writes one message, preceded by its length.
func send(stream net.Conn, message proto.Message, timeout time.Duration) error {
	if err := stream.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	buffered := bufio.NewWriter(stream)
	if _, err := protodelim.MarshalTo(buffered, message); err != nil {
		return err
	}
	return buffered.Flush()
}

// receive reads one message.
func receive(reader *bufio.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(reader, message)
}
