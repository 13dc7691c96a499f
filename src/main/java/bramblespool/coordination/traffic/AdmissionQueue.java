package bramblespool.coordination.traffic;

import java.util.ArrayList;
import java.util.List;

/** The requests that wait for a server, by rank and time of arrival. Confined to the event loop. */
final class AdmissionQueue {
    private final List<AdmissionTicket> tickets = new ArrayList<>();

    int size() {
        return tickets.size();
    }

    boolean isEmpty() {
        return tickets.isEmpty();
    }

    /** How many are before the ticket, once it is added. */
    int positionOf(AdmissionTicket ticket) {
        int position = 0;
        while (position < tickets.size() && tickets.get(position).precedes(ticket)) {
            position++;
        }
        return position;
    }

    /** Adds a ticket at its {@link #positionOf}. */
    void add(int position, AdmissionTicket ticket) {
        tickets.add(position, ticket);
    }

    AdmissionTicket removeFirst() {
        return tickets.remove(0);
    }

    /** Returns whether it was queued. */
    boolean remove(AdmissionTicket ticket) {
        ticket.cancelTimeout();
        return tickets.remove(ticket);
    }

    void rejectAll(Rejection rejection) {
        List<AdmissionTicket> rejected = new ArrayList<>(tickets);
        tickets.clear();
        rejected.forEach(ticket -> ticket.reject(rejection));
    }
}
