// Package standin holds the stand-ins and the cases of the independent review. All of it is
// in test files, since it speaks the platform's wire names; review/build.sh compiles it.
package standin
