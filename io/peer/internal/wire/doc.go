// Package wire holds the generated messages between the processes of the system.
package wire
