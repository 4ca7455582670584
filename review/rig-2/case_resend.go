//go:build review

package main

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// Dose of the lost answers, within the largest of the site files: share 0.6, x 0.4,
// for 6 s.
const (
	losingBackEnds = 3 // of 5
	loseEach       = 4 // one answer in four
	loseTime       = 6 * time.Second
)

// resend checks TWICE: back ends run orders, and some of their answers are lost.
func resend(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, orders("r7"), 5, 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	began := time.Now()
	loseFrom := began.Add(3 * time.Second)
	for i, b := range backends {
		defer b.close()
		if !trouble || i >= losingBackEnds {
			continue
		}
		var ran atomic.Int64
		b.behave = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Tarragongauge-Request-Id")
			if time.Now().Before(loseFrom) || time.Since(loseFrom) > loseTime || ran.Add(1)%loseEach != 0 {
				return false
			}
			f.rec.printf("back end %s loses its answer to %s", b.id, id)
			loseAnswer(w, false)
			return true
		}
	}
	var sent []string
	answered := 0
	for i := 0; time.Since(loseFrom) < loseTime; i++ {
		c, err := f.dial(f.entries[i%len(f.entries)])
		if err != nil {
			return false, err
		}
		q := order(map[string]string{"X-Idempotency-Key": newID()})
		sent = append(sent, q.id)
		if a := c.do(q); a.status == 200 {
			answered++
		}
		c.conn.Close()
		time.Sleep(40 * time.Millisecond)
	}
	if answered < len(sent)/2 {
		return false, errors.New("too few orders were answered")
	}
	twice := 0
	for id, n := range countRuns(backends) {
		if n > 1 {
			twice++
			f.rec.printf("order %s ran %d times", id, n)
		}
	}
	f.rec.printf("%d orders sent, %d answered with 200, %d ran more than once", len(sent), answered, twice)
	return twice > 0, nil
}
