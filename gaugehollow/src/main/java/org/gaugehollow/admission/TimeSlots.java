/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

/** Sums for the slots of time around the present; those of other times are forgotten. */
final class TimeSlots
{
    private final long[] sums;
    private final long[] numbers;

    /** @param count number of consecutive slots that are kept */
    TimeSlots(int count)
    {
        this.sums = new long[count];
        this.numbers = new long[count];
    }

    /** Adds an amount to the slot with the given number. */
    void add(long number, long amount)
    {
        int index = index(number);
        sums[index] = get(number) + amount;
        numbers[index] = number;
    }

    /** Returns the sum of the slot with the given number. */
    long get(long number)
    {
        int index = index(number);
        return numbers[index] == number ? sums[index] : 0;
    }

    /** Returns the sum of all kept slots up to the given one. */
    long sumUntil(long number)
    {
        long sum = 0;
        for (int i = 0; i < sums.length; i++)
        {
            sum += get(number - i);
        }
        return sum;
    }

    private int index(long number)
    {
        return (int) Math.floorMod(number, (long) sums.length);
    }
}
