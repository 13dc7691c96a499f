package bramblespool.state;

import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What is on the disk at a moment, and what of it would outlast a loss of power for sure. */
record DiskState(Map<String, byte[]> files, Set<String> names, Map<String, byte[]> synced) {
    /** What a disk writes whole or not at all, nearly. */
    static final int SECTOR = 512;

    /** One of the states that a loss of power may leave. */
    Map<String, byte[]> afterPowerLoss(Random random) {
        Map<String, byte[]> remaining = new TreeMap<>();
        Set<String> fileNames = new TreeSet<>(files.keySet());
        fileNames.addAll(names);
        for (String fileName : fileNames) {
            if (files.containsKey(fileName) && names.contains(fileName) || random.nextBoolean()) {
                byte[] syncedContent = synced.getOrDefault(fileName, new byte[0]);
                remaining.put(
                        fileName,
                        files.containsKey(fileName)
                                ? tornWrite(syncedContent, files.get(fileName), random)
                                : syncedContent);
            }
        }
        return remaining;
    }

    /** Of what was written since, each sector is there, missing, or torn; and so is the length of the file. */
    private static byte[] tornWrite(byte[] syncedContent, byte[] writtenContent, Random random) {
        if (Arrays.equals(syncedContent, writtenContent)) {
            return writtenContent;
        }
        int keepMode = random.nextInt(4);
        int length = random.nextBoolean()
                ? writtenContent.length
                : Math.min(syncedContent.length, writtenContent.length)
                        + random.nextInt(Math.abs(syncedContent.length - writtenContent.length) + 1);
        byte[] result = Arrays.copyOf(syncedContent, length);
        for (int sectorStart = 0; sectorStart < length; sectorStart += SECTOR) {
            int sectorEnd = Math.min(length, sectorStart + SECTOR);
            // Mostly there, mostly missing, or either; and now and then torn.
            boolean isWritten = keepMode == 0
                    ? random.nextInt(20) > 0
                    : keepMode == 1 ? random.nextInt(20) == 0 : random.nextBoolean();
            int writtenEnd = random.nextInt(10) == 0
                    ? sectorStart + random.nextInt(sectorEnd - sectorStart)
                    : isWritten ? sectorEnd : sectorStart;
            if (writtenEnd > sectorStart && sectorStart < writtenContent.length) {
                System.arraycopy(
                        writtenContent,
                        sectorStart,
                        result,
                        sectorStart,
                        Math.min(writtenEnd, writtenContent.length) - sectorStart);
            }
        }
        return result;
    }
}
