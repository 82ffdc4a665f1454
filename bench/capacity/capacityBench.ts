/** `npm run bench:capacity`: measures what control costs at several sizes and prints slopes with the error of the fit. */
import { fitLine } from './fitLine.js'
import { measureSubject, subjects } from './measureSlopes.js'

const digits = 3

for (const subject of subjects) {
  await subject.measure(subject.sizes[0]!)
  const measurements = await measureSubject(subject)
  const { slope, base, error } = fitLine(measurements)
  const values = measurements.map(({ size, value }) => `${size}: ${Number(value.toPrecision(digits))}`).join(', ')
  console.log(`${subject.name} (${subject.unit}): ${values}`)
  console.log(`  ${slope.toPrecision(digits)} ${subject.unit} for each ${subject.per}, ${base.toPrecision(digits)} besides; ` +
    `furthest from the line by ${(error * 100).toFixed(1)}% of the largest`)
}
