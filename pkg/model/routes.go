package model

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// Routes is an immutable list of routes with an index by name and a radix tree of
// hosts and path prefixes. Configurations with the same routes share one list.
type Routes struct {
	// lists is nil if there are no routes.
	lists *routeLists
}

// routeLists holds the routes and the indexes of a Routes.
type routeLists struct {
	// ordered holds the routes by descending length of their path prefixes, then by name.
	ordered []Route
	// byName and byPrefix hold the positions of all routes in ordered. byName is
	// sorted by the names of the routes, byPrefix by host and path prefix and,
	// where these are equal, by name.
	byName   []int32
	byPrefix []int32
	tree     prefixTree
	// hasHostRoutes is set if at least one route has a host.
	hasHostRoutes bool
}

// NewRoutes returns the list of the given routes, which may be in any order. Their
// names must differ.
func NewRoutes(list []Route) Routes {
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, compareRoutes)
	byName := make([]int32, len(ordered))
	for i := range byName {
		byName[i] = int32(i)
	}
	byPrefix := slices.Clone(byName)
	slices.SortStableFunc(byName, func(a, b int32) int { return cmp.Compare(ordered[a].Name, ordered[b].Name) })
	slices.SortStableFunc(byPrefix, func(a, b int32) int { return cmp.Compare(ordered[a].hostPath(), ordered[b].hostPath()) })
	return newRoutes(ordered, byName, byPrefix)
}

// newRoutes returns the list of routes that are sorted already, and builds their prefix tree.
func newRoutes(ordered []Route, byName, byPrefix []int32) Routes {
	if len(ordered) == 0 {
		return Routes{}
	}
	hasHostRoutes := slices.ContainsFunc(ordered, func(r Route) bool { return r.Host != "" })
	return Routes{lists: &routeLists{ordered: ordered, byName: byName, byPrefix: byPrefix, tree: newPrefixTree(ordered, byPrefix), hasHostRoutes: hasHostRoutes}}
}

// compareRoutes orders routes by descending length of their path prefixes, then by name.
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

// All returns the routes by descending length of their path prefixes, then by name.
func (r Routes) All() iter.Seq[Route] { return slices.Values(r.list()) }

// Get returns the route with a name. It does not allocate.
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

func routeHostPath(r *Route) string { return r.hostPath() }

// searchPositions searches for the route with the wanted key among positions that
// are sorted by the keys of their routes. It returns an index in positions.
func searchPositions[K ~string](ordered []Route, positions []int32, want K, key func(*Route) K) (int, bool) {
	return slices.BinarySearchFunc(positions, want, func(i int32, want K) int { return cmp.Compare(key(&ordered[i]), want) })
}

// With returns a list with the route added, in place of any with the same name. It
// shifts the positions of the other routes instead of sorting the list again.
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
	prefix, _ := searchPositions(old.ordered, old.byPrefix, route.hostPath(), routeHostPath)
	for prefix < len(old.byPrefix) && old.ordered[old.byPrefix[prefix]].hostPath() == route.hostPath() && int(old.byPrefix[prefix]) < at {
		prefix++
	}
	return newRoutes(ordered, insertPosition(old.byName, name, int32(at), shift), insertPosition(old.byPrefix, prefix, int32(at), shift))
}

// insertPosition applies shift to the positions and inserts position at index i.
func insertPosition(positions []int32, i int, position int32, shift func(int32) int32) []int32 {
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

// Without returns a list without the route that has the name.
func (r Routes) Without(name RouteName) Routes {
	if _, ok := r.Get(name); !ok {
		return r
	}
	old := r.lists
	ordered := make([]Route, 0, len(old.ordered))
	newPositions := make([]int32, len(old.ordered))
	for i, route := range old.ordered {
		newPositions[i] = int32(len(ordered))
		if route.Name == name {
			newPositions[i] = -1
			continue
		}
		ordered = append(ordered, route)
	}
	return newRoutes(ordered, renumberPositions(old.byName, newPositions), renumberPositions(old.byPrefix, newPositions))
}

// renumberPositions replaces each position by its new one and leaves out the
// positions whose new one is -1.
func renumberPositions(positions, newPositions []int32) []int32 {
	out := make([]int32, 0, len(positions))
	for _, p := range positions {
		if newPositions[p] >= 0 {
			out = append(out, newPositions[p])
		}
	}
	return out
}

// Match returns the route for any host that allows the method and has the longest
// prefix of the path; of several such routes, the first by name. A prefix ends
// at a segment boundary of the path, so /orders matches /orders/7 but not
// /ordersheet. Match does not allocate.
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

// MatchHost returns the matching route among the routes of a host. If there is
// none, MatchHost returns the result of Match.
func (r Routes) MatchHost(method, host, path string) (Route, bool) {
	if r.lists == nil {
		return Route{}, false
	}
	if host != "" && r.lists.hasHostRoutes {
		if i := r.lists.match(method, host+path); i >= 0 {
			return r.lists.ordered[i], true
		}
	}
	return r.Match(method, path)
}

// allowsMethod reports whether the route matches requests with the method.
func (r Route) allowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// prefixTree is a radix tree of hosts and path prefixes. Its first node is the root.
type prefixTree []prefixNode

// prefixNode is a node of a prefixTree. Its prefix is made of the labels on the
// way from the root to the node.
type prefixNode struct {
	// label is the end of the node's prefix, which follows the prefix of its
	// parent. Only the label of the root may be empty.
	label string
	// firstChild and lastChild, exclusive, bound the children of the node in the
	// tree. Children are sorted by the first byte of their labels.
	firstChild, lastChild int32
	// firstRoute and lastRoute, exclusive, bound the routes in byPrefix that have
	// exactly the prefix of the node.
	firstRoute, lastRoute int32
}

// treeBuilder builds a prefixTree from the fields ordered and byPrefix of routeLists.
type treeBuilder struct {
	ordered  []Route
	byPrefix []int32
	nodes    prefixTree
}

func newPrefixTree(ordered []Route, byPrefix []int32) prefixTree {
	// Each node except the root has routes or at least two children, so the tree
	// has at most 2n+1 nodes for n routes.
	b := treeBuilder{ordered: ordered, byPrefix: byPrefix, nodes: make(prefixTree, 1, 2*len(ordered)+1)}
	b.build(0, 0, 0, len(ordered))
	return slices.Clone(b.nodes)
}

// prefix returns the host and path prefix of the route at index i of byPrefix.
func (b *treeBuilder) prefix(i int) string { return b.ordered[b.byPrefix[i]].hostPath() }

// build adds the subtree of a node for the routes from first to last, exclusive,
// in byPrefix. Their prefixes share the first depth bytes.
func (b *treeBuilder) build(node, depth, first, last int) {
	next := first
	for next < last && len(b.prefix(next)) == depth {
		next++
	}
	child := len(b.nodes)
	for start := next; start < last; {
		end := b.groupEnd(start, last, depth)
		// The prefixes are sorted, so a common prefix of the first and the last is common to all.
		common := depth + commonPrefixLength(b.prefix(start)[depth:], b.prefix(end - 1)[depth:])
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

// groupEnd returns the end, exclusive, of the routes from start on whose prefixes
// have the same byte at depth.
func (b *treeBuilder) groupEnd(start, last, depth int) int {
	end := start + 1
	for end < last && b.prefix(end)[depth] == b.prefix(start)[depth] {
		end++
	}
	return end
}

// commonPrefixLength returns the length of the longest common prefix of a and b, in bytes.
func commonPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// match returns the position in ordered of the route that allows the method and
// has the longest prefix of the path, or -1. A path may begin with a host.
func (l *routeLists) match(method, path string) int {
	best, depth := -1, 0
	for node := &l.tree[0]; node != nil; node = l.tree.child(node, path[depth:]) {
		depth += len(node.label)
		if !atBoundary(path, depth) {
			continue
		}
		for _, i := range l.byPrefix[node.firstRoute:node.lastRoute] {
			if l.ordered[i].allowsMethod(method) {
				best = int(i)
				break
			}
		}
	}
	return best
}

// atBoundary reports whether the first n bytes of a path end at a segment boundary.
func atBoundary(path string, n int) bool {
	return n == len(path) || path[n] == '/' || (n > 0 && path[n-1] == '/')
}

// child returns the child of n whose label is a prefix of rest, or nil.
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
