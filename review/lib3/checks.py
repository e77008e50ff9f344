"""Checks of rules from what clients sent and workers saw."""


class Usage:
    """What runs on the workers, replayed from the record of a cell."""

    def __init__(self, cell, needs):
        """`needs` holds (cpu, mem_mb) of each task by job."""
        self.cell, self.needs = cell, needs
        self.spans = []     # worker, task, from, to
        begun = {}
        for at, what, f in cell.events:
            if what == "start":
                begun[f["worker"], f["task"]] = at
            elif what == "end" and (f["worker"], f["task"]) in begun:
                self.spans.append((f["worker"], f["task"], begun.pop((f["worker"], f["task"])), at))
        self.spans += [(w, t, at, 1e9) for (w, t), at in begun.items()]

    def used(self, worker, at):
        cpu = mem = 0
        for w, task, begin, end in self.spans:
            if w == worker and begin <= at < end:
                need = self.needs[task.split(".")[0]]
                cpu, mem = cpu + need[0], mem + need[1]
        return cpu, mem

    def runs(self, job, at):
        return any(t.startswith(job + ".") and b <= at < e for _, t, b, e in self.spans)

    def is_idle_with_room(self, job, workers, at):
        """Whether the job has nothing running, although there is capacity for a task of it twice over on
        one of the given workers, and less than half of the capacity of the service is in use."""
        if self.runs(job, at):
            return False
        cpu, mem = self.needs[job]
        room, used_cpu, used_mem, all_cpu, all_mem = False, 0, 0, 0, 0
        for worker in self.cell.workers:
            c, m = self.used(worker.id, at)
            used_cpu, used_mem = used_cpu + c, used_mem + m
            all_cpu, all_mem = all_cpu + worker.capacity["cpu"], all_mem + worker.capacity["mem_mb"]
            if worker in workers and worker.up:
                room |= worker.capacity["cpu"] - c >= 2 * cpu and worker.capacity["mem_mb"] - m >= 2 * mem
        return room and 2 * used_cpu < all_cpu and 2 * used_mem < all_mem

    def longest_idle(self, job, workers, begin, end):
        """The longest time in seconds for which the job has nothing running with room for it."""
        longest = current = 0.0
        at = begin
        while at < end:
            current = current + 0.05 if self.is_idle_with_room(job, workers, at) else 0.0
            longest = max(longest, current)
            at += 0.05
        return round(longest, 2)
