/**
 * Settings, routing configurations, the replicated state with its log entries, durable storage on SQLite, and the
 * event log. Depends on no other package of the project. Settings and routing configurations are immutable; the
 * replicated state is confined to the event loop; the SQLite store writes on a disk thread and posts the results to
 * the event loop.
 */
package bramblespool.state;
