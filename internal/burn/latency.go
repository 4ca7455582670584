package burn

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Latencies are counted in logarithmic buckets: the microseconds between two
// powers of two are divided into subBuckets buckets of equal width, so that a
// value is off by 1.6 % at most. The buckets are stored as a sparse list instead
// of the array of hdrhistogram, which takes 22 KB per series regardless of its
// contents.
const (
	subBucketBits = 5
	subBuckets    = 1 << subBucketBits
	// highestLatency is the longest deadline, in microseconds.
	highestLatency = uint64(10 * time.Minute / time.Microsecond)
	// lastBucket is an upper bound of the bucket index of highestLatency, a number of 30 bits.
	lastBucket = (30-subBucketBits)*subBuckets + subBuckets
)

// bucketCount holds the index of a bucket and the number of requests in it.
type bucketCount struct {
	bucket uint16
	count  uint32
}

// latencies is a histogram: the buckets that are not empty, in ascending order of their index.
type latencies []bucketCount

// bucketOf returns the index of the bucket of a latency. Latencies beyond
// highestLatency are counted as highestLatency. Each bucket below subBuckets covers
// a single microsecond.
func bucketOf(d time.Duration) uint16 {
	us := min(uint64(max(0, d.Microseconds())), highestLatency)
	if us < subBuckets {
		return uint16(us)
	}
	shift := bits.Len64(us) - subBucketBits - 1
	return uint16(shift*subBuckets + int(us>>shift))
}

// bucketMiddle returns the latency in the middle of the bucket with an index.
func bucketMiddle(bucket uint16) time.Duration {
	if bucket < 2*subBuckets {
		return time.Duration(bucket) * time.Microsecond
	}
	shift := int(bucket)/subBuckets - 1
	low := uint64(int(bucket)-shift*subBuckets) << shift
	return time.Duration(low+1<<(shift-1)) * time.Microsecond
}

func (l *latencies) add(bucket uint16, n uint32) {
	i, found := slices.BinarySearchFunc(*l, bucket, func(c bucketCount, b uint16) int { return cmp.Compare(c.bucket, b) })
	if !found {
		*l = slices.Insert(*l, i, bucketCount{bucket: bucket})
	}
	(*l)[i].count += n
}

func (l *latencies) merge(o latencies) {
	for _, c := range o {
		l.add(c.bucket, c.count)
	}
}

// quantile returns the latency that a share of the requests, between 0 and 1, did
// not exceed, or 0 if there are no requests.
func (l latencies) quantile(share float64) time.Duration {
	var total uint64
	for _, c := range l {
		total += uint64(c.count)
	}
	var sum uint64
	for _, c := range l {
		sum += uint64(c.count)
		if float64(sum) >= share*float64(total) {
			return bucketMiddle(c.bucket)
		}
	}
	return 0
}
