package fair

// order is a heap by tag; equal tags go by latest start, then by age.
type order []*Item

func (o order) Len() int { return len(o) }

func (o order) Less(i, j int) bool {
	a, b := o[i], o[j]
	if a.Tag != b.Tag {
		return a.Tag < b.Tag
	}
	if a.Latest != b.Latest {
		return a.Latest < b.Latest
	}
	return a.seq < b.seq
}

func (o order) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push is for package heap.
func (o *order) Push(x any) { *o = append(*o, x.(*Item)) }

// Pop is for package heap.
func (o *order) Pop() any {
	last := len(*o) - 1
	it := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return it
}

// latest is a heap by latest start.
type latest []*Item

func (l latest) Len() int { return len(l) }

func (l latest) Less(i, j int) bool {
	if l[i].Latest != l[j].Latest {
		return l[i].Latest < l[j].Latest
	}
	return l[i].seq < l[j].seq
}

func (l latest) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is for package heap.
func (l *latest) Push(x any) { *l = append(*l, x.(*Item)) }

// Pop is for package heap.
func (l *latest) Pop() any {
	last := len(*l) - 1
	it := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return it
}
