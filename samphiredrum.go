// Package samphiredrum routes calls to backend servers that own keys exclusively.
package samphiredrum
