// Package remote speaks HTTP to the operators' and the callers' doors.
package remote
