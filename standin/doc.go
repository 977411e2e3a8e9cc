// Package standin holds small replacements of the outside systems, for development and tests.
package standin
