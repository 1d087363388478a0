// Package command holds what both programs' command lines share.
package command
