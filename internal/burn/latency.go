package burn

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Latencies are counted in logarithmic buckets with subBuckets of equal width
// for each power of two of a microsecond, so a value is off by 1.6 % at most. A
// sparse list takes the place of hdrhistogram's array, which takes 22 KB for
// each series whatever it holds.
const (
	subBucketBits = 5
	subBuckets    = 1 << subBucketBits
	// highestLatency is the longest deadline, in microseconds.
	highestLatency = uint64(10 * time.Minute / time.Microsecond)
	// lastBucket is that of highestLatency, which has 30 bits.
	lastBucket = (30-subBucketBits)*subBuckets + subBuckets
)

// bucketCount is the number of requests in one bucket.
type bucketCount struct {
	bucket uint16
	count  uint32
}

// latencies are in ascending order of buckets, without empty ones.
type latencies []bucketCount

// bucketOf returns the bucket of a latency. Buckets below subBuckets hold one microsecond each.
func bucketOf(d time.Duration) uint16 {
	us := min(uint64(max(0, d.Microseconds())), highestLatency)
	if us < subBuckets {
		return uint16(us)
	}
	shift := bits.Len64(us) - subBucketBits - 1
	return uint16(shift*subBuckets + int(us>>shift))
}

// middleOf returns the middle of a bucket.
func middleOf(bucket uint16) time.Duration {
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

// quantile returns the latency that a share of the requests did not exceed.
func (l latencies) quantile(share float64) time.Duration {
	var total uint64
	for _, c := range l {
		total += uint64(c.count)
	}
	var sum uint64
	for _, c := range l {
		sum += uint64(c.count)
		if float64(sum) >= share*float64(total) {
			return middleOf(c.bucket)
		}
	}
	return 0
}
