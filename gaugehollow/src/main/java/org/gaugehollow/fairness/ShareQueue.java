/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.ToDoubleFunction;

/**
 * Waiting items of several customers, returned in the order of progressive filling: the next item
 * is always one of the customer that competes at the lowest share at that moment, and each
 * customer's items keep their order. Overdue customers come first until one of their items starts.
 * Answers a full cell in which one order for all customers serves those that send most.
 *
 * <p>
 * Only the customer whose item was returned last is compared anew, so the order costs little more
 * than sorting the customers.
 *
 * @param <T> the type of the items
 */
public final class ShareQueue<T>
{
    private record Entry<T>(T item, int position)
    {
    }

    /** The waiting items of one customer. */
    private static final class Line<T>
    {
        private final Queue<Entry<T>> entries = new ArrayDeque<>();
        private boolean overdue;
        private double share;

        private int position()
        {
            return entries.element().position();
        }
    }

    private final ToDoubleFunction<T> competingShare;
    private final Map<String, Line<T>> lines = new HashMap<>();
    private final PriorityQueue<Line<T>> byShare = new PriorityQueue<>(
            Comparator.comparing((Line<T> line) -> !line.overdue).thenComparingDouble(line -> line.share)
                    .thenComparingInt(Line::position));
    private int itemCount;
    private Line<T> current;

    /**
     * @param competingShare returns the share at which an item competes at the time of the call; it may
     *            only rise, and only for the customer whose item was returned last
     */
    public ShareQueue(ToDoubleFunction<T> competingShare)
    {
        this.competingShare = competingShare;
    }

    /**
     * Adds an item behind all others of its customer. Among customers of equal share, the item that was
     * added first comes first.
     *
     * @param customer the customer's name
     * @param item the item
     */
    public void add(String customer, T item)
    {
        lines.computeIfAbsent(customer, name -> new Line<>()).entries.add(new Entry<>(item, itemCount));
        itemCount++;
    }

    /**
     * Marks a customer as overdue.
     *
     * @param customer the name of a customer with items
     */
    public void setOverdue(String customer)
    {
        lines.get(customer).overdue = true;
    }

    /** Records that the item returned last was started, so that its customer is no longer overdue. */
    public void onStarted()
    {
        current.overdue = false;
    }

    /** @return whether the customer of the item returned last is overdue */
    public boolean isOverdue()
    {
        return current.overdue;
    }

    /** @return the next item, or null if there are no more */
    public T next()
    {
        if (current == null)
        {
            lines.values().forEach(this::offer);
        }
        else
        {
            offer(current);
        }
        current = byShare.poll();
        return current == null ? null : current.entries.remove().item();
    }

    private void offer(Line<T> line)
    {
        if (!line.entries.isEmpty())
        {
            line.share = competingShare.applyAsDouble(line.entries.element().item());
            byShare.add(line);
        }
    }
}
