package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"

	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/wire"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// link is one authenticated connection to a peer.
type link struct {
	mesh *Mesh
	peer *peer
	ws   *websocket.Conn
	// id identifies the link in the logs and statistics of both hosts.
	id string
	// dialer is the host that opened the link.
	dialer model.HostID
	// incarnation is that of the peer at the other end, which changes when the
	// peer restarts.
	incarnation model.Incarnation
	// encrypted is set on links over TLS.
	encrypted bool
	// compression is nil on links without compression.
	compression *compression

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

// replaces reports whether l is used instead of old, a link to the same host. The
// link to the later incarnation of the host is used. Of two links of the same
// dialer the newer one is used, since the dialer has given up the older one. Of
// two links opened at the same time the one whose dialer has the lesser host name
// is used, so that both sides keep the same link.
func (l *link) replaces(old *link) bool {
	switch {
	case l.incarnation != old.incarnation:
		return l.incarnation > old.incarnation
	case l.dialer == old.dialer:
		return true
	default:
		return l.dialer == min(l.mesh.self.Host, l.peer.host)
	}
}

// start runs the tasks of the link. The writer starts last, so that it stops
// first and can write what is queued.
func (l *link) start() {
	tasks := []struct {
		name string
		run  super.Task
	}{
		{"read", l.read},
		{"ping", l.ping},
		{"write", l.write},
	}
	for _, t := range tasks {
		if !l.mesh.tree.Go(t.name+"-"+string(l.peer.host), l.closeOnError(t.run)) {
			l.close(nil)
			return
		}
	}
}

// closeOnError returns a task that calls run and closes the link if run fails. The returned task never fails, since the supervisor would restart it; a
// new link is opened instead.
func (l *link) closeOnError(run super.Task) super.Task {
	return func(ctx context.Context) error {
		l.closeIfError(run(ctx))
		return nil
	}
}

// closeIfError closes the link unless cause is nil.
func (l *link) closeIfError(cause error) {
	if cause != nil {
		l.close(cause)
	}
}

// close ends the link and its tasks, and opens a new link if messages are queued.
// A nil cause means that the process stops or that another link is used instead;
// it is not logged.
func (l *link) close(cause error) {
	l.closeOnce.Do(func() {
		l.cancel()
		_ = l.ws.CloseNow() // the connection may have ended already
		redial := l.peer.clearLink(l)
		if cause != nil {
			l.mesh.opts.log.Info("link closed", "peer", string(l.peer.host), "link", l.id, "cause", cause.Error())
		}
		if redial {
			l.mesh.startDial(l.peer)
		}
	})
}

// read delivers messages until the link ends.
func (l *link) read(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { l.close(nil) })()
	for {
		kind, frame, err := l.ws.Read(l.ctx)
		if err != nil {
			return l.errUnlessClosed(err)
		}
		if kind != websocket.MessageBinary {
			return fmt.Errorf("received a frame of type %s instead of a binary one", kind)
		}
		l.peer.counters.receivedBytes.Add(uint64(len(frame)))
		if frame, err = l.compression.decompress(frame); err != nil {
			return err
		}
		if err := l.deliver(frame); err != nil {
			return err
		}
	}
}

// errUnlessClosed returns err, or nil if the link was closed on this side, so that
// err is only a consequence.
func (l *link) errUnlessClosed(err error) error {
	select {
	case <-l.ctx.Done():
		return nil
	default:
		return err
	}
}

// deliver dispatches the messages of a received frame. Messages that cannot be
// decoded are counted as dropped; a frame that cannot be split into messages is an
// error.
func (l *link) deliver(frame []byte) error {
	for len(frame) > 0 {
		e, rest, err := l.mesh.codec.DecodeFirst(frame)
		if err != nil && rest == nil {
			return err
		}
		if err != nil {
			l.mesh.opts.log.Error(err, "message ignored", "peer", string(l.peer.host))
			l.peer.countDropped(1)
			frame = rest
			continue
		}
		if err := l.dispatch(e, frame[:len(frame)-len(rest)]); err != nil {
			return err
		}
		l.peer.counters.receivedMessages.Add(1)
		frame = rest
	}
	return nil
}

// ping sends pings at an interval and returns an error if a pong does not arrive
// in time, which happens when either direction of the link is cut.
func (l *link) ping(ctx context.Context) error {
	tick := time.NewTicker(l.mesh.opts.timing.PingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := l.pingOnce(); err != nil {
			return l.errUnlessClosed(err)
		}
	}
}

// pingOnce sends a ping, waits for its pong and records the round-trip time.
func (l *link) pingOnce() error {
	ctx, cancel := context.WithTimeout(l.ctx, l.mesh.opts.timing.PingTimeout)
	defer cancel()
	start := time.Now()
	if err := l.ws.Ping(ctx); err != nil {
		return fmt.Errorf("no answer to a ping within %s: %w", l.mesh.opts.timing.PingTimeout, err)
	}
	l.peer.counters.roundTrip.Store(int64(time.Since(start)))
	return nil
}

// write sends queued messages until the link ends or the process stops.
func (l *link) write(ctx context.Context) error {
	for l.ctx.Err() == nil {
		frame, n := l.peer.takeBatch(time.Now(), l.mesh.opts.timing.MaxQueueAge)
		if n > 0 {
			if err := l.writeFrame(frame, n, l.mesh.opts.timing.WriteTimeout); err != nil {
				return l.errUnlessClosed(err)
			}
			continue
		}
		select {
		case <-l.peer.wake:
		case <-l.ctx.Done():
		case <-ctx.Done():
			return l.writeLastFrame()
		}
	}
	return nil
}

// writeLastFrame sends a last batch of queued messages when the process stops,
// such as those by which the host releases its shards.
func (l *link) writeLastFrame() error {
	frame, n := l.peer.takeBatch(time.Now(), l.mesh.opts.timing.MaxQueueAge)
	if n == 0 {
		return nil
	}
	return l.writeFrame(frame, n, flushTimeout)
}

// writeFrame compresses and sends a frame that holds n messages.
func (l *link) writeFrame(frame []byte, n int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	frame, err := l.compression.compress(frame)
	if err == nil {
		err = l.ws.Write(ctx, websocket.MessageBinary, frame)
	}
	if err != nil {
		l.peer.countDropped(n)
		return fmt.Errorf("write %d bytes: %w", len(frame), err)
	}
	l.peer.counters.sentMessages.Add(uint64(n))
	l.peer.counters.sentBytes.Add(uint64(len(frame)))
	l.mesh.traffic.countWireBytes(l.peer.zoneName(), len(frame))
	return nil
}

// newLink returns a link over a connection whose handshake has succeeded. It is
// not in use and its tasks do not run yet.
func newLink(m *Mesh, p *peer, ws *websocket.Conn, id string, dialer model.HostID, inc model.Incarnation) *link {
	ctx, cancel := context.WithCancel(context.Background())
	ws.SetReadLimit(wire.MaxFrame)
	return &link{mesh: m, peer: p, ws: ws, id: id, dialer: dialer, incarnation: inc, compression: newCompression(ws, m.compressors), ctx: ctx, cancel: cancel}
}
