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
	// DefaultReloadInterval is the time between two reads of the files, which are three files of about 1 KiB.
	DefaultReloadInterval = 10 * time.Second
	// warningDivisor is the divisor of the validity that gives the remaining time at
	// which expiry warnings begin, such as 18 of 90 days.
	warningDivisor = 5
	// Limits of the log lines about refused peers: lines per second, and burst. A
	// host with a refused certificate retries every second, and unknown clients
	// may try without end.
	refusalsPerSecond = 1
	refusalBurst      = 50
)

// Source provides the certificate and the authorities of a process and reloads
// them when their files change. Open connections keep the certificate they were
// opened with. A Source is safe for concurrent use.
type Source struct {
	files        Files
	expected     Expectation
	clock        Clock
	log          logr.Logger
	interval     time.Duration
	current      atomic.Pointer[Credentials]
	refusedPeers atomic.Uint64
	// refusalLogLimit limits the rate of log lines about refused peers.
	refusalLogLimit *rate.Limiter

	mu sync.Mutex
	// digest is the digest of the files that the current credentials were loaded from.
	digest [sha256.Size]byte
	// loggedFault and loggedWarning hold the last logged error of a reload and the
	// last logged expiry warning, so that each is logged once; empty if there is none now.
	loggedFault   string
	loggedWarning string
}

// SourceOption configures a Source.
type SourceOption func(*Source)

// WithLogger sets the logger for replaced and faulty files, refused peers and
// expiry warnings. The default discards them.
func WithLogger(log logr.Logger) SourceOption {
	return func(s *Source) { s.log = log }
}

// WithReloadInterval sets the time between two reads of the files; the default is DefaultReloadInterval.
func WithReloadInterval(d time.Duration) SourceOption {
	return func(s *Source) { s.interval = d }
}

// NewSource loads the files of a process and starts a goroutine in a child of
// the tree that reloads them at an interval. The returned function stops that
// goroutine. NewSource returns an error if the files are not valid now.
func NewSource(files Files, want Expectation, clock Clock, tree *super.Tree, opts ...SourceOption) (*Source, func(), error) {
	s := &Source{files: files, expected: want, clock: clock, log: logr.Discard(), interval: DefaultReloadInterval, refusalLogLimit: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
	for _, opt := range opts {
		opt(s)
	}
	c, err := readContents(files)
	if err != nil {
		return nil, nil, err
	}
	m, err := c.credentials(files, want, clock())
	if err != nil {
		return nil, nil, err
	}
	s.current.Store(&m)
	s.digest = c.digest()
	child := tree.Child("trust")
	child.Go("reload", s.watch)
	return s, child.Stop, nil
}

// Current returns the credentials to use for new connections.
func (s *Source) Current() Credentials { return *s.current.Load() }

func (s *Source) watch(ctx context.Context) error {
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			_ = s.Reload() // Reload logs its error
		}
	}
}

// Reload reads the files once and replaces the current credentials if the files
// have changed. If the files are faulty, the credentials are kept and the error is
// returned; the same error is logged only once in a row.
func (s *Source) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.replaceIfChanged()
	switch {
	case err == nil:
		s.loggedFault = ""
	case err.Error() != s.loggedFault:
		s.loggedFault = err.Error()
		s.log.Error(err, "certificate files are faulty; the running certificate is kept", "expires", formatTime(s.Current().Leaf.NotAfter))
	}
	s.warnOfExpiry()
	return err
}

// replaceIfChanged loads the files if their digest differs from the current one. The caller holds mu.
func (s *Source) replaceIfChanged() error {
	c, err := readContents(s.files)
	if err != nil {
		return err
	}
	digest := c.digest()
	if digest == s.digest {
		return nil
	}
	m, err := c.credentials(s.files, s.expected, s.clock())
	if err != nil {
		return err
	}
	s.current.Store(&m)
	s.digest, s.loggedWarning = digest, ""
	s.log.Info("certificate files replaced", "host", string(m.Identity.Host), "expires", formatTime(m.Leaf.NotAfter), "authorities", len(m.Authorities.certs))
	return nil
}

// warnOfExpiry logs once that the current certificate is about to expire, and
// once that it has expired. The caller holds mu.
func (s *Source) warnOfExpiry() {
	leaf, now := s.Current().Leaf, s.clock()
	left := leaf.NotAfter.Sub(now)
	warning := ""
	switch {
	case left < 0:
		warning = "the certificate has expired; other hosts refuse new links until its file is replaced"
	case left < leaf.NotAfter.Sub(leaf.NotBefore)/warningDivisor:
		warning = "the certificate expires soon; issue a new one and replace its file"
	}
	if warning != "" && warning != s.loggedWarning {
		s.log.Info(warning, "expires", formatTime(leaf.NotAfter))
	}
	s.loggedWarning = warning
}
