package bramblespool.coordination.controller;

/**
 * A proxy asks for the document of a version.
 *
 * @param stamp the checksum that tells two documents of one epoch apart; empty where any will do
 */
record DocumentRequest(long epoch, String stamp) {}
