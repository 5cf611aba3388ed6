package job

import "slices"

// noteReplaced records that other processes answer at the addresses of workers, which refuse all
// copies of starts that were sent to these.
func (v *View) noteReplaced(workers []string) {
	if len(workers) == 0 {
		return
	}
	for _, w := range workers {
		delete(v.Unanswered, w)
	}
	for _, r := range v.Active {
		for _, o := range r.Open {
			for step := range o.Steps {
				for i := range o.Steps[step].Tasks {
					if t := &o.Steps[step].Tasks[i]; t.Unclear != "" && slices.Contains(workers, t.Unclear) {
						t.Unclear = ""
					}
				}
			}
		}
	}
}
