package model

// Task names one task of a job.
type Task struct {
	Job   string
	Occur int // occurrence, from 0
	Step  int
	Index int
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job   string
	Occur int
	Step  int
}

// StepID returns the step that the task is part of.
func (t Task) StepID() StepID { return StepID{Job: t.Job, Occur: t.Occur, Step: t.Step} }
