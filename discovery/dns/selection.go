package dns

// candidate has the properties of an SRV record that its selection depends on.
type candidate struct {
	server   string
	cell     int
	priority uint16
	draining bool
}

// selectRecords returns the indices of the records that are used. In each cell these are the records with the lowest
// priority value that are not draining, and all draining records. Each server is selected once; if one of its records
// is draining, that record is used.
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
