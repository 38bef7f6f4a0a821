// Package pages has tests that compare the project's documentation pages with
// its code, and that check which packages use the platform's wire names.
package pages
