// Package check holds the stand-ins and the scripted cases of the independent review: a store,
// executors, a placement adviser, an operator and clients as the platform's pages describe
// them. All of it is in test files, since it uses the platform's names; review/build.sh builds
// it as one program.
package check
