/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.List;

import org.gaugehollow.model.Checks;

/**
 * Request mix of the load command, read from a JSON file.
 *
 * @param requests types of requests
 */
record LoadMix(List<Part> requests)
{
    /**
     * Type of request.
     *
     * @param workload workload name
     * @param team team name
     * @param weight relative frequency; 0 counts as 1
     * @param millis run time on the stand-in in milliseconds
     * @param keyed whether each request carries a new idempotency key
     */
    record Part(String workload, String team, int weight, int millis, boolean keyed)
    {
        Part
        {
            Checks.name(workload, "workload");
            Checks.name(team, "team");
            weight = weight == 0 ? 1 : weight;
            Checks.range(weight, 1, 1_000_000, "weight");
            Checks.range(millis, 0, 600_000, "millis");
        }
    }

    LoadMix
    {
        Checks.present(requests, "requests");
        Checks.range(requests.size(), 1, 1_000, "requests");
        requests = List.copyOf(requests);
    }

    /** Returns the request type for a random number between 0 and {@code totalWeight() - 1}. */
    Part pick(int number)
    {
        int remaining = number;
        for (Part part : requests)
        {
            remaining -= part.weight;
            if (remaining < 0)
            {
                return part;
            }
        }
        return requests.getLast();
    }

    int totalWeight()
    {
        return requests.stream().mapToInt(Part::weight).sum();
    }
}
