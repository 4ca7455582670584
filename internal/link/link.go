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
	id   string
	// dialer is the host that opened the link.
	dialer model.HostID
	// incarnation is the run of the peer that the link leads to.
	incarnation model.Incarnation
	// encrypted is set on links over TLS.
	encrypted bool
	// press is nil on links without compression.
	press *press

	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
}

// replaces reports whether l is used instead of another link to the same host.
// A later run of the host wins. A newer link of the same dialer wins, since the
// dialer has given up the older one. Of two links opened at the same time the
// one of the lesser host name wins, so that both sides keep the same link.
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
		if !l.mesh.tree.Go(t.name+"-"+string(l.peer.host), l.closeAfter(t.run)) {
			l.close(nil)
			return
		}
	}
}

// closeAfter makes a task that closes the link when it fails. The task itself
// does not fail, since a new link takes its place rather than a restart.
func (l *link) closeAfter(run super.Task) super.Task {
	return func(ctx context.Context) error {
		l.failed(run(ctx))
		return nil
	}
}

func (l *link) failed(cause error) {
	if cause != nil {
		l.close(cause)
	}
}

// close ends the link and its tasks. A nil cause means that the process stops
// or that another link is used instead.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cancel()
		_ = l.ws.CloseNow() // the connection may have ended already
		redial := l.peer.unuse(l)
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
			return l.ended(err)
		}
		if kind != websocket.MessageBinary {
			return fmt.Errorf("frame of type %s", kind)
		}
		l.peer.count.receivedBytes.Add(uint64(len(frame)))
		if frame, err = l.press.unpack(frame); err != nil {
			return err
		}
		if err := l.deliver(frame); err != nil {
			return err
		}
	}
}

// ended returns nil if the link was closed on this side.
func (l *link) ended(err error) error {
	select {
	case <-l.ctx.Done():
		return nil
	default:
		return err
	}
}

func (l *link) deliver(frame []byte) error {
	for len(frame) > 0 {
		e, rest, err := l.mesh.codec.DecodeFirst(frame)
		if err != nil && rest == nil {
			return err
		}
		if err != nil {
			l.mesh.opts.log.Error(err, "message ignored", "peer", string(l.peer.host))
			l.peer.drop(1)
			frame = rest
			continue
		}
		if err := l.accept(e, frame[:len(frame)-len(rest)]); err != nil {
			return err
		}
		l.peer.count.receivedMessages.Add(1)
		frame = rest
	}
	return nil
}

// ping closes the link when a pong does not come back in time, which happens
// when either direction is cut.
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
			return l.ended(err)
		}
	}
}

func (l *link) pingOnce() error {
	ctx, cancel := context.WithTimeout(l.ctx, l.mesh.opts.timing.PingTimeout)
	defer cancel()
	start := time.Now()
	if err := l.ws.Ping(ctx); err != nil {
		return fmt.Errorf("no answer to a ping within %s: %w", l.mesh.opts.timing.PingTimeout, err)
	}
	l.peer.count.roundTrip.Store(int64(time.Since(start)))
	return nil
}

// write sends what is queued until the link ends or the process stops.
func (l *link) write(ctx context.Context) error {
	for l.ctx.Err() == nil {
		frame, n := l.peer.take(time.Now(), l.mesh.opts.timing.MaxQueueAge)
		if n > 0 {
			if err := l.writeFrame(frame, n, l.mesh.opts.timing.WriteTimeout); err != nil {
				return l.ended(err)
			}
			continue
		}
		select {
		case <-l.peer.wake:
		case <-l.ctx.Done():
		case <-ctx.Done():
			return l.flush()
		}
	}
	return nil
}

// flush writes what was queued last, such as the release of shards by a stopping host.
func (l *link) flush() error {
	frame, n := l.peer.take(time.Now(), l.mesh.opts.timing.MaxQueueAge)
	if n == 0 {
		return nil
	}
	return l.writeFrame(frame, n, flushTimeout)
}

func (l *link) writeFrame(frame []byte, n int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	frame, err := l.press.pack(frame)
	if err == nil {
		err = l.ws.Write(ctx, websocket.MessageBinary, frame)
	}
	if err != nil {
		l.peer.drop(n)
		return fmt.Errorf("write %d bytes: %w", len(frame), err)
	}
	l.peer.count.sentMessages.Add(uint64(n))
	l.peer.count.sentBytes.Add(uint64(len(frame)))
	l.mesh.traffic.noteWire(l.peer.inZone(), len(frame))
	return nil
}

func newLink(m *Mesh, p *peer, ws *websocket.Conn, id string, dialer model.HostID, inc model.Incarnation) *link {
	ctx, cancel := context.WithCancel(context.Background())
	ws.SetReadLimit(wire.MaxFrame)
	return &link{mesh: m, peer: p, ws: ws, id: id, dialer: dialer, incarnation: inc, press: newPress(ws, m.inflaters), ctx: ctx, cancel: cancel}
}
