/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.List;

import org.gaugehollow.model.Checks;

/**
 * A mix of requests for the load tool, read from a JSON file.
 *
 * @param requests the kinds of requests
 */
record LoadMix(List<Part> requests)
{
    /**
     * One kind of request.
     *
     * @param workload the workload
     * @param team the team
     * @param weight how often it comes, relative to the others
     * @param millis how long it runs on the stand-in
     * @param keyed whether each carries a new key
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

    /** The part that a random number from 0 to totalWeight() - 1 falls on. */
    Part pick(int number)
    {
        int left = number;
        for (Part part : requests)
        {
            left -= part.weight;
            if (left < 0)
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
