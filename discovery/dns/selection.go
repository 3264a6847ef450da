package dns

// candidate is an SRV record, as far as its selection goes.
type candidate struct {
	server   string
	cell     int
	priority uint16
	draining bool
}

// selectRecords returns the indices of the records that count: of each cell those of the lowest priority that do not
// drain, and all that drain, each server once. Of two records of one server the one that drains counts.
func selectRecords(all []candidate) (selected []int) {
	lowest, draining, seen := map[int]uint16{}, map[string]bool{}, map[string]bool{}
	for _, r := range all {
		draining[r.server] = draining[r.server] || r.draining
	}
	for _, r := range all {
		if p, ok := lowest[r.cell]; !draining[r.server] && (!ok || r.priority < p) {
			lowest[r.cell] = r.priority
		}
	}
	for i, r := range all {
		if !seen[r.server] && (r.draining || !draining[r.server] && r.priority == lowest[r.cell]) {
			seen[r.server] = true
			selected = append(selected, i)
		}
	}
	return selected
}
