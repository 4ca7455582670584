package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// loadCollector collects how even the load of the targets of the owned services is,
// and how many queries of each rank wait there.
type loadCollector struct {
	// status returns the services that this host owns now.
	status    func() []pool.ServiceStatus
	variation *prometheus.Desc
	full      *prometheus.Desc
	waiting   *prometheus.Desc
	wait      *prometheus.Desc
}

func newLoadCollector(owner *runner[pool.Event, pool.Effect], core *pool.Owner) *loadCollector {
	return &loadCollector{
		status: func() (list []pool.ServiceStatus) {
			owner.read(func(now model.Instant) { list = core.Status(now) })
			return list
		},
		variation: prometheus.NewDesc("tarragongauge_load_variation", "Coefficient of variation of the recent assignments per slot over the targets in use of an owned service.", []string{"service"}, nil),
		full:      prometheus.NewDesc("tarragongauge_full_arrivals", "Requests that targets of an owned service shed as full, since this host owns it.", []string{"service"}, nil),
		waiting:   prometheus.NewDesc("tarragongauge_queue_length", "Queries of a rank that wait for a slot of an owned service.", []string{"service", "rank"}, nil),
		wait:      prometheus.NewDesc("tarragongauge_queue_wait_seconds", "Time for which the oldest waiting query of a rank has waited.", []string{"service", "rank"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *loadCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.variation
	ch <- c.full
	ch <- c.waiting
	ch <- c.wait
}

// Collect implements prometheus.Collector.
func (c *loadCollector) Collect(ch chan<- prometheus.Metric) {
	for _, s := range c.status() {
		ch <- prometheus.MustNewConstMetric(c.variation, prometheus.GaugeValue, s.LoadVariation, string(s.Service))
		ch <- prometheus.MustNewConstMetric(c.full, prometheus.GaugeValue, float64(s.FullArrivals), string(s.Service))
		c.collectQueues(ch, s)
	}
}

// collectQueues collects the queues of a service. Ranks with the same label are added
// up, so that no series occurs twice.
func (c *loadCollector) collectQueues(ch chan<- prometheus.Metric, s pool.ServiceStatus) {
	var labels []string
	waiting, longest := map[string]int{}, map[string]float64{}
	for _, q := range s.Queues {
		label := entry.RankLabel(q.Rank)
		if _, ok := waiting[label]; !ok {
			labels = append(labels, label)
		}
		waiting[label] += q.Waiting
		longest[label] = max(longest[label], q.LongestWait.Seconds())
	}
	for _, label := range labels {
		ch <- prometheus.MustNewConstMetric(c.waiting, prometheus.GaugeValue, float64(waiting[label]), string(s.Service), label)
		ch <- prometheus.MustNewConstMetric(c.wait, prometheus.GaugeValue, longest[label], string(s.Service), label)
	}
}
