package trust

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"tarragongauge.example/tarragongauge/internal/super"
)

const (
	// DefaultReloadInterval is the time between two looks at the files, three of about 1 KiB.
	DefaultReloadInterval = 10 * time.Second
	// warnShare of the validity is left when the log begins to warn: 18 of 90 days.
	warnShare = 5
	// Bounds of logged refusals in lines per second and at once. A host with a
	// refused certificate tries again every second, and strangers may try without end.
	refusalsPerSecond = 1
	refusalsAtOnce    = 50
)

// Source holds the certificate and the authorities of a process and replaces
// them when their files change. Connections that are open keep what they were
// opened with. It is safe for concurrent use.
type Source struct {
	files    Files
	want     Expectation
	clock    Clock
	log      logr.Logger
	interval time.Duration
	current  atomic.Pointer[Credentials]
	refused  atomic.Uint64
	// refusals bounds the lines in the log.
	refusals *rate.Limiter

	mu sync.Mutex
	// digest is that of the files in use.
	digest [sha256.Size]byte
	// fault and warning are the last ones logged, so that each is logged once.
	fault   string
	warning string
}

// SourceOption changes how a source works.
type SourceOption func(*Source)

// WithLogger logs replaced and faulty files, refused peers and the end of validity.
func WithLogger(log logr.Logger) SourceOption {
	return func(s *Source) { s.log = log }
}

// WithReloadInterval sets the time between two looks at the files.
func WithReloadInterval(d time.Duration) SourceOption {
	return func(s *Source) { s.interval = d }
}

// NewSource loads the files of a process and looks at them again at an
// interval, in a child of the tree. The clean-up function ends that.
func NewSource(files Files, want Expectation, clock Clock, tree *super.Tree, opts ...SourceOption) (*Source, func(), error) {
	s := &Source{files: files, want: want, clock: clock, log: logr.Discard(), interval: DefaultReloadInterval, refusals: rate.NewLimiter(refusalsPerSecond, refusalsAtOnce)}
	for _, opt := range opts {
		opt(s)
	}
	c, err := readContents(files)
	if err != nil {
		return nil, nil, err
	}
	m, err := c.material(files, want, clock())
	if err != nil {
		return nil, nil, err
	}
	s.current.Store(&m)
	s.digest = c.digest()
	child := tree.Child("trust")
	child.Go("reload", s.watch)
	return s, child.Stop, nil
}

// Current returns what is in use.
func (s *Source) Current() Credentials { return *s.current.Load() }

func (s *Source) watch(ctx context.Context) error {
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			_ = s.Reload() // logged there
		}
	}
}

// Reload looks at the files once. Faulty files leave what is in use as it is;
// the error, which is also logged once, tells what is wrong with them.
func (s *Source) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.replace()
	switch {
	case err == nil:
		s.fault = ""
	case err.Error() != s.fault:
		s.fault = err.Error()
		s.log.Error(err, "certificate files are faulty; the running certificate is kept", "expires", stamp(s.Current().Leaf.NotAfter))
	}
	s.warn()
	return err
}

func (s *Source) replace() error {
	c, err := readContents(s.files)
	if err != nil {
		return err
	}
	digest := c.digest()
	if digest == s.digest {
		return nil
	}
	m, err := c.material(s.files, s.want, s.clock())
	if err != nil {
		return err
	}
	s.current.Store(&m)
	s.digest, s.warning = digest, ""
	s.log.Info("certificate files replaced", "host", string(m.Identity.Host), "expires", stamp(m.Leaf.NotAfter), "authorities", len(m.Authorities.certs))
	return nil
}

// warn logs once that the certificate in use is about to expire, and once that it has.
func (s *Source) warn() {
	leaf, now := s.Current().Leaf, s.clock()
	left := leaf.NotAfter.Sub(now)
	warning := ""
	switch {
	case left < 0:
		warning = "the certificate has expired; other hosts refuse new links until its file is replaced"
	case left < leaf.NotAfter.Sub(leaf.NotBefore)/warnShare:
		warning = "the certificate expires soon; issue a new one and replace its file"
	}
	if warning != "" && warning != s.warning {
		s.log.Info(warning, "expires", stamp(leaf.NotAfter))
	}
	s.warning = warning
}
