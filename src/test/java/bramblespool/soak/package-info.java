/**
 * A soak of real processes on real sockets under random faults. The only tests that start processes and let real time
 * pass. {@link bramblespool.soak.SoakTest} is the short form for CI; {@link bramblespool.soak.Soak} plays many seeds.
 */
package bramblespool.soak;
