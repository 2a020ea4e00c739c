// Package buildinfo contains the version of the build.
package buildinfo

// Version is the release of this source tree; see CHANGELOG.md.
const Version = "0.1.0"
