/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

/** Tells nobody. */
final class NoOpJobListener implements JobListener
{
    @Override
    public void onJobWritten(String job)
    {
        // nobody is told
    }

    @Override
    public void onJobCancelled(String job)
    {
        // nobody is told
    }
}
