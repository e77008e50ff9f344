/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import java.util.Collection;

/**
 * The speeds of the workers that accept starts.
 *
 * @param fastest the lowest relative duration of a run
 * @param slowest the highest relative duration of a run, without workers that are slowed down for
 *            the moment
 * @param hasSlowedDown whether a worker is slowed down for the moment
 */
public record SpeedRange(double fastest, double slowest, boolean hasSlowedDown)
{
    /** Speeds that don't differ. */
    public static final SpeedRange UNIFORM = new SpeedRange(1, 1, false);

    /**
     * @param speeds the speeds of the workers
     * @return their range
     */
    public static SpeedRange of(Collection<WorkerSpeed> speeds)
    {
        double fastest = Double.MAX_VALUE;
        double slowest = 0;
        boolean hasSlowedDown = false;
        for (WorkerSpeed speed : speeds)
        {
            hasSlowedDown |= speed.isSlowedDown();
            if (!speed.isSlowedDown())
            {
                fastest = Math.min(fastest, speed.slowness());
                slowest = Math.max(slowest, speed.slowness());
            }
        }
        return slowest == 0 ? UNIFORM : new SpeedRange(fastest, slowest, hasSlowedDown);
    }

    /** @return whether speed makes no difference for placement */
    public boolean isUniform()
    {
        return !hasSlowedDown && isLike(fastest, slowest);
    }

    /**
     * @param slowness the relative duration of a run on a worker
     * @param otherSlowness that on another worker
     * @return whether the two speeds are about equal
     */
    public static boolean isLike(double slowness, double otherSlowness)
    {
        return Math.abs(Math.log(slowness / otherSlowness)) <= Math.log1p(KindSpeed.TOLERANCE);
    }
}
