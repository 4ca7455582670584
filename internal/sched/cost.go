package sched

import (
	"maps"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// classLimit bounds the number of classes whose costs are kept. The one that was
	// used longest ago makes room for a new one.
	classLimit = 64
	// meanWindow is the number of times over which a MovingMean averages.
	meanWindow = 64
	// costMemory is the time after the last attempt for which times are kept. If the
	// usual time of a class exceeds the deadlines of its requests, all are refused, and
	// no attempt would ever correct it.
	costMemory = 5 * time.Second
)

// MovingMean is the mean of about the last meanWindow times. Unlike a median it tells
// how long a slot is in use if requests differ widely. The zero value has no times.
type MovingMean struct {
	mean  time.Duration
	count int
}

// Add adds a time.
func (m *MovingMean) Add(d time.Duration) {
	m.count = min(m.count+1, meanWindow)
	m.mean += (d - m.mean) / time.Duration(m.count)
}

// Mean returns the mean, or 0 without times.
func (m *MovingMean) Mean() time.Duration { return m.mean }

// classCost is what requests of one class take.
type classCost struct {
	// slotTime is the time for which attempts hold a slot, including failed ones.
	slotTime MovingMean
	// usual is the time of successful attempts.
	usual  MovingMean
	usedAt model.Instant
}

func (c *classCost) add(d time.Duration, ok bool) {
	c.slotTime.Add(d)
	if ok {
		c.usual.Add(d)
	}
}

// Costs measures what requests take by class. The zero value knows nothing.
type Costs struct {
	classes map[model.RequestClass]*classCost
	all     classCost
}

// Add records that an attempt of a request of the class held a slot for d, and whether
// it succeeded.
func (c *Costs) Add(now model.Instant, class model.RequestClass, d time.Duration, ok bool) {
	c.all.add(d, ok)
	c.all.usedAt = now
	k, known := c.classes[class]
	if !known {
		k = c.newClass(class)
	}
	k.usedAt = now
	k.add(d, ok)
}

// Prune drops the times of classes without attempts in the last costMemory, and those
// of all requests if there were none at all.
func (c *Costs) Prune(now model.Instant) {
	maps.DeleteFunc(c.classes, func(_ model.RequestClass, k *classCost) bool { return now.Sub(k.usedAt) > costMemory })
	if now.Sub(c.all.usedAt) > costMemory {
		c.all = classCost{}
	}
}

func (c *Costs) newClass(class model.RequestClass) *classCost {
	if c.classes == nil {
		c.classes = map[model.RequestClass]*classCost{}
	}
	if len(c.classes) >= classLimit {
		oldest, found := class, false
		for id, k := range c.classes {
			if o := c.classes[oldest]; !found || k.usedAt < o.usedAt || k.usedAt == o.usedAt && id < oldest {
				oldest, found = id, true
			}
		}
		delete(c.classes, oldest)
	}
	k := &classCost{}
	c.classes[class] = k
	return k
}

// SlotTime returns the mean time for which requests of the class hold a slot, that of
// all requests while it is unknown, and 0 while nothing is known.
func (c *Costs) SlotTime(class model.RequestClass) time.Duration {
	if k, ok := c.classes[class]; ok {
		return k.slotTime.mean
	}
	return c.all.slotTime.mean
}

// Usual returns the mean time of successful requests of the class, that of all requests
// while it is unknown, and 0 while nothing is known.
func (c *Costs) Usual(class model.RequestClass) time.Duration {
	if k, ok := c.classes[class]; ok && k.usual.count > 0 {
		return k.usual.mean
	}
	return c.all.usual.mean
}
