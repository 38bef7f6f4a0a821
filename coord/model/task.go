package model

// Task identifies one task of a job.
type Task struct {
	Job   string // id of the job
	Occur int    // number of the occurrence, from 0
	Step  int    // number of the step, from 0
	Index int    // number of the task in the step, from 0
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job   string
	Occur int
	Step  int
}

// StepID returns the step that the task belongs to.
func (t Task) StepID() StepID { return StepID{Job: t.Job, Occur: t.Occur, Step: t.Step} }
