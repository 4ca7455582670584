package model

// Estimated bytes of the encoded parts of a change.
const (
	changeBytes = 256
	routeBytes  = 160
	tenureBytes = 128
	keyBytes    = 80
)

// EstimatedSize returns about how many bytes the encoded change has. Senders
// use it to keep messages short; it is not exact.
func (c Committed) EstimatedSize() int { return c.Proposal.EstimatedSize() }

// EstimatedSize returns about how many bytes the encoded proposal has.
func (p Proposal) EstimatedSize() int {
	size := changeBytes + len(p.Reason)
	switch ch := p.Change.(type) {
	case ReplaceContent:
		size += len(ch.Document) + routeBytes*(len(ch.Content.Routes)+len(ch.Content.Services))
		for _, w := range ch.Content.Workspaces {
			size += tenureBytes + keyBytes*len(w.Keys)
		}
	case EditContent:
		size += routeBytes*(len(ch.Routes)+len(ch.Services)) + tenureBytes*(len(ch.Workspaces)+len(ch.Exceptions)) + keyBytes*(len(ch.Keys)+len(ch.RemovedKeys))
	}
	return size
}
