package model

// Estimated sizes of the encoded parts of a change, in bytes.
const (
	changeBytes    = 256
	routeBytes     = 160
	workspaceBytes = 128
	keyBytes       = 80
)

// EstimatedSize returns the approximate size of the encoded change in bytes.
// Senders use it to bound the size of their messages.
func (c Committed) EstimatedSize() int { return c.Proposal.EstimatedSize() }

// EstimatedSize returns the approximate size of the encoded proposal in bytes.
func (p Proposal) EstimatedSize() int {
	size := changeBytes + len(p.Reason)
	switch ch := p.Change.(type) {
	case ReplaceContent:
		size += len(ch.Document) + routeBytes*(len(ch.Content.Routes)+len(ch.Content.Services))
		for _, w := range ch.Content.Workspaces {
			size += workspaceBytes + keyBytes*len(w.Keys)
		}
	case EditContent:
		size += routeBytes*(len(ch.Routes)+len(ch.Services)) + workspaceBytes*(len(ch.Workspaces)+len(ch.Exceptions)) + keyBytes*(len(ch.Keys)+len(ch.RemovedKeys))
	}
	return size
}
