package endpoint

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRetire(t *testing.T) {
	const unused = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		Convey("An unused client is retired, and a connection that was in use then is closed when it is released", t, func() {
			c := &Client{}
			So(c.Retire(unused), ShouldBeFalse)
			time.Sleep(unused / 2)
			So(c.popIdle(), ShouldBeNil)
			time.Sleep(unused / 2)
			So(c.Retire(unused), ShouldBeFalse)
			near, far := net.Pipe()
			c.release(c.newConn(near))
			time.Sleep(2 * unused)
			So(c.Retire(unused), ShouldBeFalse)
			taken := c.popIdle()
			time.Sleep(2 * unused)
			So(c.Retire(unused), ShouldBeTrue)
			c.release(taken)
			So(c.popIdle(), ShouldBeNil)
			_, err := far.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		})
	})
}
