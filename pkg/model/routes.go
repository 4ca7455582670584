package model

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// Routes is an immutable list of routes with an index by name and a tree of
// their path prefixes. Both are built with the list; changes that do not touch
// routes share it.
type Routes struct {
	// lists is nil if there is no route.
	lists *routeLists
}

type routeLists struct {
	// ordered is by descending prefix length, then by name.
	ordered []Route
	// byName and byPrefix are the positions in ordered, by ascending name and
	// by ascending prefix. Those with the same prefix are by name.
	byName   []int32
	byPrefix []int32
	tree     prefixTree
	// hosted is set if a route belongs to one host only.
	hosted bool
}

// NewRoutes returns the list of routes in any order.
func NewRoutes(list []Route) Routes {
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, compareRoutes)
	byName := make([]int32, len(ordered))
	for i := range byName {
		byName[i] = int32(i)
	}
	byPrefix := slices.Clone(byName)
	slices.SortStableFunc(byName, func(a, b int32) int { return cmp.Compare(ordered[a].Name, ordered[b].Name) })
	slices.SortStableFunc(byPrefix, func(a, b int32) int { return cmp.Compare(ordered[a].place(), ordered[b].place()) })
	return newRoutes(ordered, byName, byPrefix)
}

func newRoutes(ordered []Route, byName, byPrefix []int32) Routes {
	if len(ordered) == 0 {
		return Routes{}
	}
	hosted := slices.ContainsFunc(ordered, func(r Route) bool { return r.Host != "" })
	return Routes{lists: &routeLists{ordered: ordered, byName: byName, byPrefix: byPrefix, tree: newPrefixTree(ordered, byPrefix), hosted: hosted}}
}

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
}

func (r Routes) list() []Route {
	if r.lists == nil {
		return nil
	}
	return r.lists.ordered
}

// Len returns the number of routes.
func (r Routes) Len() int { return len(r.list()) }

// All returns the routes by descending prefix length, then by name.
func (r Routes) All() iter.Seq[Route] { return slices.Values(r.list()) }

// Get returns a route by its name. It does not allocate.
func (r Routes) Get(name RouteName) (Route, bool) {
	if r.lists == nil {
		return Route{}, false
	}
	i, ok := searchPositions(r.lists.ordered, r.lists.byName, name, routeName)
	if !ok {
		return Route{}, false
	}
	return r.lists.ordered[r.lists.byName[i]], true
}

func routeName(r *Route) RouteName { return r.Name }

func routePlace(r *Route) string { return r.place() }

// searchPositions searches positions that are ordered by a part of their routes.
func searchPositions[K ~string](ordered []Route, positions []int32, want K, part func(*Route) K) (int, bool) {
	return slices.BinarySearchFunc(positions, want, func(i int32, want K) int { return cmp.Compare(part(&ordered[i]), want) })
}

// With returns a list that has the route in place of the one of the same name, if there is one.
// It sorts nothing: the positions of the other routes are shifted.
func (r Routes) With(route Route) Routes {
	r = r.Without(route.Name)
	if r.lists == nil {
		return NewRoutes([]Route{route})
	}
	old := r.lists
	at, _ := slices.BinarySearchFunc(old.ordered, route, compareRoutes)
	ordered := slices.Concat(old.ordered[:at], []Route{route}, old.ordered[at:])
	shift := func(i int32) int32 {
		if int(i) >= at {
			return i + 1
		}
		return i
	}
	name, _ := searchPositions(old.ordered, old.byName, route.Name, routeName)
	prefix, _ := searchPositions(old.ordered, old.byPrefix, route.place(), routePlace)
	for prefix < len(old.byPrefix) && old.ordered[old.byPrefix[prefix]].place() == route.place() && int(old.byPrefix[prefix]) < at {
		prefix++
	}
	return newRoutes(ordered, shifted(old.byName, name, int32(at), shift), shifted(old.byPrefix, prefix, int32(at), shift))
}

// shifted returns the shifted positions with one more at index i.
func shifted(positions []int32, i int, position int32, shift func(int32) int32) []int32 {
	out := make([]int32, 0, len(positions)+1)
	for j, p := range positions {
		if j == i {
			out = append(out, position)
		}
		out = append(out, shift(p))
	}
	if i == len(positions) {
		out = append(out, position)
	}
	return out
}

// Without returns a list without the route of a name.
func (r Routes) Without(name RouteName) Routes {
	if _, ok := r.Get(name); !ok {
		return r
	}
	old := r.lists
	ordered := make([]Route, 0, len(old.ordered))
	moved := make([]int32, len(old.ordered))
	for i, route := range old.ordered {
		moved[i] = int32(len(ordered))
		if route.Name == name {
			moved[i] = -1
			continue
		}
		ordered = append(ordered, route)
	}
	return newRoutes(ordered, kept(old.byName, moved), kept(old.byPrefix, moved))
}

// kept returns the positions after a removal; moved has the new position of each, or -1.
func kept(positions, moved []int32) []int32 {
	out := make([]int32, 0, len(positions))
	for _, p := range positions {
		if moved[p] >= 0 {
			out = append(out, moved[p])
		}
	}
	return out
}

// Match returns the route with the longest prefix that covers the path and
// takes the method, and of several the first by name. A prefix covers a path
// at segment boundaries only, so /orders covers /orders/7 but not /ordersheet.
// It does not allocate.
func (r Routes) Match(method, path string) (Route, bool) {
	if r.lists == nil {
		return Route{}, false
	}
	i := r.lists.match(method, path)
	if i < 0 {
		return Route{}, false
	}
	return r.lists.ordered[i], true
}

// MatchHost is Match among the routes of a host, then among those of all hosts.
func (r Routes) MatchHost(method, host, path string) (Route, bool) {
	if r.lists == nil {
		return Route{}, false
	}
	if host != "" && r.lists.hosted {
		if i := r.lists.match(method, host+path); i >= 0 {
			return r.lists.ordered[i], true
		}
	}
	return r.Match(method, path)
}

func (r Route) takes(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// prefixTree is a radix tree of path prefixes. Its first node is the root.
type prefixTree []prefixNode

type prefixNode struct {
	// label is the part of the prefix that this node adds to its parent's. Only the root's may be empty.
	label string
	// The children are the nodes from firstChild to lastChild, exclusive, by ascending first byte.
	firstChild, lastChild int32
	// The routes of exactly this prefix stand in byPrefix from firstRoute to lastRoute, exclusive.
	firstRoute, lastRoute int32
}

// treeBuilder builds a prefixTree of routes whose positions are ordered by prefix.
type treeBuilder struct {
	ordered  []Route
	byPrefix []int32
	nodes    prefixTree
}

func newPrefixTree(ordered []Route, byPrefix []int32) prefixTree {
	// Every node but the root has routes or at least two children.
	b := treeBuilder{ordered: ordered, byPrefix: byPrefix, nodes: make(prefixTree, 1, 2*len(ordered)+1)}
	b.build(0, 0, 0, len(ordered))
	return slices.Clone(b.nodes)
}

func (b *treeBuilder) prefix(i int) string { return b.ordered[b.byPrefix[i]].place() }

// build completes a node that has the routes from first to last, exclusive,
// in its subtree. They share the first depth bytes of their prefixes.
func (b *treeBuilder) build(node, depth, first, last int) {
	next := first
	for next < last && len(b.prefix(next)) == depth {
		next++
	}
	child := len(b.nodes)
	for start := next; start < last; {
		end := b.group(start, last, depth)
		// The prefixes are sorted, so what the first and the last share, all share.
		common := depth + shared(b.prefix(start)[depth:], b.prefix(end - 1)[depth:])
		b.nodes = append(b.nodes, prefixNode{label: b.prefix(start)[depth:common], firstRoute: int32(start), lastRoute: int32(end)})
		start = end
	}
	end := len(b.nodes)
	n := &b.nodes[node]
	n.firstRoute, n.lastRoute = int32(first), int32(next)
	n.firstChild, n.lastChild = int32(child), int32(end)
	for ; child < end; child++ {
		n := b.nodes[child]
		b.build(child, depth+len(n.label), int(n.firstRoute), int(n.lastRoute))
	}
}

// group returns the end of the routes from start on whose prefixes have the same byte at depth.
func (b *treeBuilder) group(start, last, depth int) int {
	end := start + 1
	for end < last && b.prefix(end)[depth] == b.prefix(start)[depth] {
		end++
	}
	return end
}

// shared returns the length of the longest common prefix.
func shared(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// match returns the position of the matching route, or -1.
func (l *routeLists) match(method, path string) int {
	best, depth := -1, 0
	for node := &l.tree[0]; node != nil; node = l.tree.child(node, path[depth:]) {
		depth += len(node.label)
		if !atBoundary(path, depth) {
			continue
		}
		for _, i := range l.byPrefix[node.firstRoute:node.lastRoute] {
			if l.ordered[i].takes(method) {
				best = int(i)
				break
			}
		}
	}
	return best
}

// atBoundary reports whether the first n bytes of a path end at a boundary of segments.
func atBoundary(path string, n int) bool {
	return n == len(path) || path[n] == '/' || (n > 0 && path[n-1] == '/')
}

// child returns the child whose label begins rest, or nil.
func (t prefixTree) child(n *prefixNode, rest string) *prefixNode {
	if rest == "" {
		return nil
	}
	children := t[n.firstChild:n.lastChild]
	lo, hi := 0, len(children)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if children[mid].label[0] < rest[0] {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(children) || !strings.HasPrefix(rest, children[lo].label) {
		return nil
	}
	return &children[lo]
}
