/**
 * The command line: subcommands, options and exit codes, the start of a role in this process, the self-test, and the
 * status report. It is the only package that reads the environment and ends the process. May depend on every other
 * package; no other package depends on it. The main thread parses and starts; everything after that runs on the event
 * loop.
 */
package bramblespool.cli;
