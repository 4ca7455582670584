package model

// Estimated sizes of the encoded parts of a change, in bytes, without the strings
// of operators that have no narrow bound.
const (
	changeBytes    = 256
	routeBytes     = 112
	serviceBytes   = 112
	shareBytes     = 24
	workspaceBytes = 128
	exceptionBytes = 128
	keyBytes       = 80
	// nameBytes is the size of a name in a list without the name itself.
	nameBytes = 8
)

// EstimatedSize returns the approximate size of the encoded change in bytes.
// Senders use it to bound the size of their messages.
func (c Committed) EstimatedSize() int { return c.Proposal.EstimatedSize() }

// EstimatedSize returns the approximate size of the encoded proposal in bytes. It
// grows with every part of the proposal whose length an operator chooses, so a
// list that is bounded by it is bounded in bytes.
func (p Proposal) EstimatedSize() int {
	size := changeBytes + len(p.ID) + len(p.Actor) + len(p.Reason)
	switch ch := p.Change.(type) {
	case ReplaceContent:
		size += len(ch.Document) + sizeOfRoutes(ch.Content.Routes) + sizeOfServices(ch.Content.Services)
		for _, w := range ch.Content.Workspaces {
			size += workspaceBytes + keyBytes*len(w.Keys)
		}
	case EditContent:
		size += sizeOfRoutes(ch.Routes) + sizeOfServices(ch.Services)
		size += workspaceBytes*len(ch.Workspaces) + keyBytes*(len(ch.Keys)+len(ch.RemovedKeys))
		size += sizeOfNames(ch.RemovedServices) + sizeOfNames(ch.RemovedRoutes) + sizeOfNames(ch.RemovedWorkspaces) + sizeOfNames(ch.RemovedExceptions)
		size += workspaceBytes*len(ch.Priorities) + sizeOfNames(ch.RemovedPriorities)
		for _, e := range ch.Exceptions {
			size += exceptionBytes + len(e.ID) + len(e.Reason)
		}
	case PutRoute:
		size += sizeOfRoutes([]Route{ch.Route})
	case PutService:
		size += sizeOfServices([]Service{ch.Service})
	case PutException:
		size += exceptionBytes + len(ch.Exception.ID) + len(ch.Exception.Reason)
	}
	return size
}

func sizeOfRoutes(routes []Route) int {
	size := 0
	for _, r := range routes {
		size += routeBytes + len(r.Name) + len(r.Host) + len(r.PathPrefix) + len(r.Service) + sizeOfNames(r.Methods)
		for _, s := range r.Split {
			size += shareBytes + len(s.Service)
		}
	}
	return size
}

func sizeOfServices(services []Service) int {
	size := 0
	for _, s := range services {
		size += serviceBytes + len(s.Name) + len(s.HealthPath)
	}
	return size
}

func sizeOfNames[S ~string](names []S) int {
	size := nameBytes * len(names)
	for _, n := range names {
		size += len(n)
	}
	return size
}
