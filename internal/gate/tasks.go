package gate

import (
	"cmp"
	"slices"
)

// taskList holds the tasks of a job, sorted by index. Most jobs have one task
// on a sidecar, for which a table.Table would take more memory than the task.
type taskList struct {
	tasks []*task
}

// Len returns the number of tasks.
func (r *taskList) Len() int {
	return len(r.tasks)
}

// Get returns the task with the given index, or nil.
func (r *taskList) Get(index uint32) *task {
	if i, ok := r.search(index); ok {
		return r.tasks[i]
	}
	return nil
}

// Put adds a task or replaces the one with the same index.
func (r *taskList) Put(t *task) {
	i, ok := r.search(t.index)
	if ok {
		r.tasks[i] = t
		return
	}
	r.tasks = slices.Insert(r.tasks, i, t)
}

// All iterates over the tasks by index. No task may be added during the
// iteration.
func (r *taskList) All() func(yield func(uint32, *task) bool) {
	return func(yield func(uint32, *task) bool) {
		for _, t := range r.tasks {
			if !yield(t.index, t) {
				return
			}
		}
	}
}

func (r *taskList) search(index uint32) (int, bool) {
	return slices.BinarySearchFunc(r.tasks, index, func(t *task, index uint32) int { return cmp.Compare(t.index, index) })
}

// retainedTask is a finished task whose result counts against MaxResultBytes.
type retainedTask struct {
	job  *job
	task *task
}
