// Package audit stores the audit log of operators' actions: one row of a platform
// table for each action, written once and never changed. The record of a change
// that takes effect is written in the same transaction as the change (Log.Op), so
// that neither exists without the other. Other records have a transaction of
// their own (Log.Write).
package audit
